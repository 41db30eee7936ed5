package stager

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/weights"
)

// prepare copies the pieces that are already staged on the box into the store. Only the
// first transfer of a process does so: later ones are of versions never staged here.
func (s *Stager) prepare(ctx context.Context, model string, version uint64, m *weights.Manifest) {
	s.pieces.add(model, version, m)
	telemetry.Log("manifest_here", "model", model, "version", version, "pieces", len(m.Files[0].Chunks))
	if s.stagedChecked.Swap(true) {
		return
	}
	s.status.awaitReplica(ctx, replicaStartTimeout)
	held, err := s.listStaged(ctx, model)
	if err != nil {
		telemetry.Log("staged_unknown", "model", model, "reason", fault.CodeOf(err))
		return
	}
	chunks, kept := m.Files[0].Chunks, 0
	for i, n := range held {
		if n < 0 || n >= len(chunks) {
			continue
		}
		data, err := s.readStaged(ctx, model, n, chunks[n].Size)
		if err == nil && s.exchange.Store.Put(chunks[n].Digest, data) == nil {
			kept++
		}
		if i == lastProbe && kept == 0 {
			break // Another version is staged.
		}
	}
	if kept == len(chunks) {
		s.verified.Store(&verifiedVersion{artifact: artifactName(model, version), validUntil: time.Now().Add(verifiedFor)})
	}
	telemetry.Log("staged_read", "model", model, "version", version, "held", len(held), "kept", kept)
}

// verifiedVersion is a version of which every piece in the staging area was found intact.
type verifiedVersion struct {
	artifact   string
	validUntil time.Time // Staged pieces may become corrupt later.
}

// verifiedFor is how long a verified version need not be staged again.
const verifiedFor = time.Second

// lastProbe is the index of the last staged piece that is read if none has matched.
const lastProbe = 6

// stage writes a version to the staging area of the replica, unless it has been verified
// there, and reports whether all of it is staged.
func (s *Stager) stage(ctx context.Context, r *versionTransfer) bool {
	if v := s.verified.Load(); v != nil && v.artifact == r.Artifact && time.Now().Before(v.validUntil) {
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

// stageTimeout bounds each call to the staging area of the replica. The replica is on the
// same box and answers in milliseconds; on a connection that has gone silent no answer
// comes, and the loader would block forever.
const stageTimeout = time.Second

func (s *Stager) stagePiece(ctx context.Context, model string, n int, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	err := s.options.Replica.Stage(ctx, model, n, data)
	if unanswered(err) {
		telemetry.Log("replica_call_unanswered", "call", "stage", "model", model, "piece", n, "reason", fault.CodeOf(err))
	}
	return err
}

// unanswered reports whether err is that of a call that got no answer: the replica may have
// received it, and may still carry it out.
func unanswered(err error) bool { return fault.Is(err, fault.Unreachable) }

func (s *Stager) readStaged(ctx context.Context, model string, n, maxBytes int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return s.options.Replica.ReadStaged(ctx, model, n, maxBytes)
}

// listStaged lists the staged pieces, with one retry: without the list all pieces would be
// fetched again.
func (s *Stager) listStaged(ctx context.Context, model string) ([]int, error) {
	held, err := s.listStagedOnce(ctx, model)
	if err != nil && ctx.Err() == nil {
		return s.listStagedOnce(ctx, model)
	}
	return held, err
}

func (s *Stager) listStagedOnce(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return s.options.Replica.ListStaged(ctx, model)
}
