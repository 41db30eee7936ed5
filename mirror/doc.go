// Package mirror keeps a copy of what a platform's service publishes.
//
// A service publishes records by key, and each change has a revision of its own
// in one rising sequence. A Mirror holds the newest record of each key up to one
// position. What it is told may come in any order, twice, or from another
// process's Mirror: for each key the latest position wins, so two mirrors that
// were told the same things are equal, and none goes back.
//
// A service may come back from a copy of itself. It then lacks its last changes,
// gives their revisions out again and counts one more era. A Position has the era
// before the revision, so that what the service says since is later than all that
// it said before. A whole of a later era takes the place of what a Mirror holds,
// but for records that outlast it: these are held against the service until it
// says something that is not older, or for a while. Outlasts decides which, and
// processes tell one another what they hold.
package mirror
