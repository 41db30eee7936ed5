// Package mirror keeps a local copy of the records that the platform's store publishes.
//
// The store publishes records by key and gives each change a revision from one
// increasing sequence. A Mirror holds the newest record of each key up to one
// Position. It applies a Delta read from the store or received from another process's
// Mirror, in any order and more than once: for each key the latest position
// wins, so mirrors that applied the same deltas are equal, and none moves backwards.
//
// The store may be restored from a backup. It then lacks its last changes, reuses
// their revisions and increments its era. Positions are ordered by era first and then by
// revision, so whatever the store publishes after a restore is later than all that it
// published before. A full snapshot (Delta.Whole) of a later era replaces the contents of a
// Mirror, except for records that its HoldPolicy selects: the Mirror holds these in place
// of the restored ones until the store publishes a record that is not older, or until
// a time limit. Processes exchange their held records (see HeldRecord) so that they agree.
package mirror
