package stager

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
		s.stagedArtifact.Store(artifactName(model, version))
	}
	telemetry.Log("staged_read", "model", model, "version", version, "held", len(held), "kept", kept)
}

// lastProbe is the index of the last staged piece that is read if none has matched.
const lastProbe = 6

// stage writes all pieces of a version to the staging area of the replica, unless they were written
// or read back there last, and reports whether it succeeded.
func (s *Stager) stage(ctx context.Context, r *versionTransfer) bool {
	if s.stagedArtifact.Load() == r.Artifact {
		return true
	}
	s.stagedArtifact.Store("")
	chunks := r.Manifest().Files[0].Chunks
	for i := range chunks {
		if !s.stagePiece(ctx, r, i) {
			return false
		}
	}
	s.stagedArtifact.Store(r.Artifact)
	return true
}

// stageTimeout bounds each call to the staging area of the replica. The replica is on the
// same box and answers in milliseconds; on a connection that has gone silent no answer
// comes, and the loader would block forever.
const stageTimeout = time.Second

// stagePiece writes a piece to the staging area and reports whether it succeeded.
func (s *Stager) stagePiece(ctx context.Context, r *versionTransfer, n int) bool {
	data, ok := s.exchange.Store.Get(r.Manifest().Files[0].Chunks[n].Digest)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	err := s.options.Replica.Stage(ctx, r.model, n, data)
	if unanswered(err) {
		s.giveUp(call{model: r.model, version: r.version}) // The replica may have started again since it last reported.
	}
	if err != nil {
		telemetry.LogError(err, "stage_failed", "model", r.model, "version", r.version, "piece", n)
	}
	return err == nil
}

// giveUp records a call that got no answer.
func (s *Stager) giveUp(c call) {
	s.unanswered.add(c, time.Now())
	s.Metrics.Event("replica_call_unanswered", "")
	telemetry.Log("replica_call_unanswered", "order", c.order, "model", c.model, "version", c.version, "born", c.born, "orders", c.orders)
}

// findWrong reads staged pieces back, and returns the numbers of those that are missing or do not match
// the manifest. It sets in readAt when it asked for each of the others.
func (s *Stager) findWrong(ctx context.Context, r *versionTransfer, pieces []int, readAt []time.Time) ([]int, error) {
	chunks := r.Manifest().Files[0].Chunks
	var next atomic.Int64
	var mu sync.Mutex
	var wrong []int
	var failed error
	read := func(n int) {
		askedAt := time.Now()
		data, err := s.readStaged(ctx, r.model, n, chunks[n].Size)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil && weights.Digest(data) == chunks[n].Digest:
			readAt[n] = askedAt
		case err == nil, fault.Is(err, fault.NotHeld), fault.Is(err, fault.TooLarge):
			wrong = append(wrong, n)
		default:
			failed = err
		}
	}
	var wg sync.WaitGroup
	for range max(1, s.readers) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(pieces); i = int(next.Add(1)) - 1 {
				read(pieces[i])
			}
		})
	}
	wg.Wait()
	slices.Sort(wrong)
	return wrong, failed
}

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
