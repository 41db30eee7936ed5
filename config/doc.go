// Package config holds what operators declare.
//
// Operators write a directory of YAML files and publish them as one whole. Each
// file may hold any of the sections of Config; the files are merged, and a name
// may stand in only one of them. A Revision is one published whole: a number,
// and named documents with their digests. Parse validates a whole and either
// returns a Config or every fault with its file, line and path. It is pure, so
// every process comes to the same verdict.
//
// A Table is a keyed set that knows at which version each entry changed, so
// that processes can send one another only what differs. Both the heads of
// revisions and the fleet list travel as Tables.
//
// Place is pure too: from a Config and the live boxes it says which box serves
// which service. Every process computes it for itself, so nobody is told.
package config
