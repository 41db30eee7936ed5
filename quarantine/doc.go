// Package quarantine stops requests that crash the replicas which run them from being sent to
// more and more replicas.
//
// A request may make every replica crash that starts to run it. Its caller cannot distinguish
// this from any other failure and retries, at any process that forwards requests. Each of these
// processes keeps a Table. It records a Strike when a replica terminates under a request, and
// requests that are served; Tables of different processes exchange Reports. A request with
// enough strikes is quarantined: it is not sent for a while.
//
// Replicas terminate for other reasons too, and then under harmless requests. Three criteria
// distinguish these:
//
//   - Rounds. The round of a strike is one more than the highest round known to its sender when
//     it sent the request. However many copies of a request are lost at one moment, as when
//     many replicas lose power, they count as one strike. A further termination counts as well
//     if it came at least 0.3 s later, or at least 0.15 s later under a request that was sent
//     again by a process that had a record of the earlier one.
//   - Success. A request that was served is cleared: all of its strikes are dropped.
//   - Coincidence. Replicas that terminate close to one another with nothing in common, or under
//     another request that has more strikes, are weak evidence; see isCause.
//
// The package sends nothing, logs nothing and starts no goroutine.
package quarantine
