// Package weights distributes model weights to many boxes at once.
//
// An Artifact, a version of a model or an adapter, is described by a Manifest: its files as
// chunks with their SHA-256 digests. The configuration pins the digest of the manifest, so the
// content a box fetches never depends on a name. A Store keeps verified chunks in bounded
// memory; data that does not match its digest is rejected.
//
// Each box schedules its own fetches. A Plan is the part without I/O: given the chunks that
// the box has, the messages of its neighbours and the current time, it returns which chunk to
// fetch next and from which source. All boxes with the same member list compute the same
// ranking of boxes for each chunk. The first box in the ranking claims the chunk and fetches
// it from the origin; the others fetch it from their neighbours, rarest chunk first. Claims
// and the set of chunks that have left the origin are gossiped between neighbours. The
// origin's link thus carries about one copy, without a coordinator, as long as any box can
// reach it.
//
// An Exchange does the I/O of a box: it runs one Transfer for each artifact and serves chunks
// to other boxes in a limited number of upload slots.
package weights
