package stager

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/weights"
)

// prepare takes back what is staged on the box already. Only the first transfer
// of a process has to: later ones want a version that was never staged here.
func (s *Stager) prepare(ctx context.Context, model string, version uint64, m *weights.Manifest) {
	s.pieces.note(model, version, m)
	telemetry.Log("manifest_here", "model", model, "version", version, "pieces", len(m.Files[0].Chunks))
	if s.recovered.Swap(true) {
		return
	}
	s.status.awaitReplica(ctx, replicaUpIn)
	held, err := s.stagedPieces(ctx, model)
	if err != nil {
		telemetry.Log("staged_unknown", "model", model, "reason", fault.CodeOf(err))
		return
	}
	chunks, kept := m.Files[0].Chunks, 0
	for i, n := range held {
		if n < 0 || n >= len(chunks) {
			continue
		}
		data, err := s.readStaged(ctx, model, n)
		if err == nil && s.exchange.Store.Put(chunks[n].Digest, data) == nil {
			kept++
		}
		if i == sample && kept == 0 {
			break // Another version lies there.
		}
	}
	if kept == len(chunks) {
		s.readBack.Store(&readBack{artifact: artifactOf(model, version), goodUntil: time.Now().Add(readBackFor)})
	}
	telemetry.Log("staged_read", "model", model, "version", version, "held", len(held), "kept", kept)
}

// readBack is a version of which every piece was found intact where the replica takes
// it from.
type readBack struct {
	artifact  string
	goodUntil time.Time // Pieces may turn bad there later.
}

// readBackFor is for how long a version that was read back need not be staged again.
const readBackFor = time.Second

// sample is after how many pieces of which none matched the rest is not read.
const sample = 6

// stage puts a version where the replica takes it from, unless it lies there intact
// already, and reports whether all of it is there.
func (s *Stager) stage(ctx context.Context, r *running) bool {
	if b := s.readBack.Load(); b != nil && b.artifact == r.Artifact && time.Now().Before(b.goodUntil) {
		return true
	}
	for i, c := range r.Manifest().Files[0].Chunks {
		data, ok := s.exchange.Store.Get(c.Digest)
		if !ok {
			return false
		}
		if err := s.stagePiece(ctx, r.model, i, data); err != nil {
			telemetry.LogError(err, "stage_failed", "model", r.model, "version", r.version, "piece", i)
			return false
		}
	}
	return true
}

// pieceIn is how long the replica has to answer a call about what is staged. It is on the
// same box, and answers in milliseconds; on a connection that has gone silent it never
// does, and the loader would wait for ever.
const pieceIn = time.Second

func (s *Stager) stagePiece(ctx context.Context, model string, n int, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, pieceIn)
	defer cancel()
	return s.options.Replica.Stage(ctx, model, n, data)
}

func (s *Stager) readStaged(ctx context.Context, model string, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceIn)
	defer cancel()
	return s.options.Replica.ReadStaged(ctx, model, n)
}

// stagedPieces asks for what is staged, once more if there is no answer: without it all
// pieces would be fetched again.
func (s *Stager) stagedPieces(ctx context.Context, model string) ([]int, error) {
	held, err := s.stagedOnce(ctx, model)
	if err != nil && ctx.Err() == nil {
		return s.stagedOnce(ctx, model)
	}
	return held, err
}

func (s *Stager) stagedOnce(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceIn)
	defer cancel()
	return s.options.Replica.ListStaged(ctx, model)
}
