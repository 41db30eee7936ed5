// Package dispatch determines the outcome of requests that a gateway sends to boxes.
//
// A gateway dispatches a request to the agent of one box. A dispatch has one of
// three outcomes: Done, the complete answer was received with its end message and
// digest; NotRun, it is proved that the request did not start anywhere; Unknown, it may
// have run.
//
// Gate is the agent's side. All requests to one box are admitted by its one Gate, whose
// state ends with the process on that box, so it alone can guarantee that a request runs
// at most once or has not run. It admits a dispatch only if it names this incarnation of
// the agent, the version that is served, and a deadline in the future. A request that
// was voided before it started is fenced until its deadline has passed, so that a
// delayed frame cannot start it.
//
// Decide is the gateway's side: it decides from an outcome whether to deliver the answer,
// retry on another box, or give up. Both sides do no I/O and take the time as a parameter.
package dispatch
