// Package causes finds out from gateways' log lines why requests were not answered in time.
//
// An Analysis takes the "request" and "refused" lines of any number of gateways in any order,
// one Event each. Report then joins the attempts of each request: a refusal that is followed by
// a line with the same route, organisation and key within the time that the caller had left is
// one request with it, so that only its final fate counts. Identical requests of several callers
// cannot be told apart and may be joined as well.
//
// The package does no I/O. An Analysis keeps a record of fixed size for each line.
package causes
