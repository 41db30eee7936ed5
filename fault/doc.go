// Package fault gives every failure of poststand a type.
//
// A failure is an *Error with a Code. Codes are stable: they are the reason
// codes that callers see in JSON errors, the values of the "reason" attribute
// on refusal and retry counters, and the words in log lines. Code compares
// failures with Is or CodeOf and never by text.
package fault
