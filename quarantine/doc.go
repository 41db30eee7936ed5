// Package quarantine stops requests that crash the replicas which run them from being sent to
// more and more replicas.
//
// A request may make every replica crash that starts to run it, by its whole content or by a part
// of its prompt that other requests share. Its caller cannot distinguish this from any other
// failure and retries, at any process that forwards requests. A request therefore has several
// Keys: one for its content, and one for each shared part of its prompt. Each of these processes
// keeps a Table. It records a Strike against each Key of a request under which a replica
// terminates, and which requests run without harm; Tables of different processes exchange Reports.
// A Key with enough strikes is quarantined: requests with it are not sent for a while. Judge says
// so for a request as a whole.
//
// Replicas terminate for other reasons too, and then under harmless requests, whose Keys get
// strikes as well. Four criteria distinguish these:
//
//   - Rounds. The round of a strike is one more than the highest round known to its sender when
//     it sent the request. However many copies of a request are lost at one moment, as when
//     many replicas lose power, they count as one strike. A further termination counts as well
//     if it came at least 0.3 s later, or at least 0.15 s later under a request that was sent
//     again by a process that had a record of the earlier one.
//   - Success. When a request starts to run and does no harm, the strikes against its Keys from
//     before are dropped. What ran before a strike proves nothing: a part may turn fatal at any
//     time.
//   - Coincidence. Replicas that terminate close to one another with nothing in common, or under
//     another Key that has more strikes, are weak evidence; see isCause.
//   - Trial. Where a verdict may be wrong, and once a quarantine has expired, one request at a
//     time is sent to find out.
//
// The package sends nothing, logs nothing and starts no goroutine.
package quarantine
