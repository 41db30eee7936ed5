// Package weights moves model weights to many boxes at once.
//
// An Artifact, a version of a model or an adapter, is described by a Manifest:
// its files as chunks with their SHA-256. The configuration pins the digest of
// the manifest, so what a box fetches never depends on a name. A Store keeps
// chunks in bounded memory and keeps none whose digest did not match.
//
// Each box decides for itself. A Plan is the pure part: from what the box has,
// what its neighbours told it and the clock it says what to fetch next and from
// whom. Every box of the same members and chunks computes the same order of
// boxes for each chunk: the first of it claims the chunk and fetches it from the
// origin; the others get it from their neighbours, rarest first. Claims, and what
// has left the origin, pass from neighbour to neighbour, so that the origin's link
// is busy with one copy while any box can reach it, without a coordinator.
//
// An Exchange does the I/O of a box: it holds its Transfers, one for each
// artifact, and serves chunks to others in a few upload slots.
package weights
