// Package config defines the configuration that operators declare.
//
// Operators write a directory of YAML files and publish them together. Each file
// may hold any of the sections of Config; the files are merged, and a name may be
// defined in only one of them. A revision is one published set of files: a number,
// and named documents with their digests, which its Head lists. Parse validates the
// documents of a revision and returns either a Config or every problem with its
// file, line and path. It is pure, so every process gets the same result.
//
// A Table is a keyed set that records at which version each entry changed, so that
// processes can send one another deltas. Both the heads of revisions and the fleet
// list are sent as Tables.
//
// Place is pure too: it computes from a Config and the live boxes which box serves
// which service. Every process computes the Placement itself, so it is never sent.
//
// Routing looks up the route of a request and the organisation of an API key.
package config
