// Package mirror keeps a copy of what a platform's service publishes.
//
// A service publishes records by key, and each change has a revision of its own
// in one rising sequence. A Mirror holds the newest record of each key up to one
// revision. What it is told may come in any order, twice, or from another
// process's Mirror: for each key the highest revision wins, so two mirrors that
// were told the same things are equal, and none goes back.
package mirror
