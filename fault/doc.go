// Package fault defines the error type of poststand and its error codes.
//
// An error is an *Error with a Code, made by New or Wrap. Codes are stable: they
// are the reason codes that callers see in JSON errors, the values of the "reason"
// attribute of the refusal and retry counters, and the reasons in log lines. Errors
// are compared with Is or CodeOf and never by text.
package fault
