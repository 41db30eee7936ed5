// Package dispatch decides what may be said of a request that was sent out.
//
// A gateway dispatches a request to the agent of one box. A dispatch has one of
// three outcomes: Done, the whole answer was seen with its end mark and digest;
// NotRun, it is proved that nothing started anywhere; Unknown, it may have run.
//
// The Gate is the agent's half. It sees the requests of one box one by one and
// dies with that box, so it is the one place that can promise "at most once"
// and a true "not run". It admits a dispatch only if it names this incarnation
// of the agent, the version that is served, and a deadline still to come. A
// request that was voided before it started is fenced until its deadline has
// passed, so that a late frame cannot start it.
//
// Decide is the gateway's half: from an outcome it says whether to answer, to
// try another box, or to give up. Both halves are free of I/O and are given
// the time.
package dispatch
