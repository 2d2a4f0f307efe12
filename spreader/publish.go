package spreader

import (
	"context"
	"fmt"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/differ"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
	"cowsliphinge/validator"
)

const (
	// maxOutcomes is how many outcomes of operations the head remembers.
	maxOutcomes = 128
	// maxOperationID bounds an operation ID, in bytes.
	maxOperationID = 64
	// publishAttempts bounds how often one operation is tried.
	publishAttempts = 5
	// publishBackoffMs is the wait before the second repeat; it doubles.
	publishBackoffMs = 100
)

// Change asks for a new version.
type Change struct {
	OperationID string
	// ExpectedVersion is the version that the change is based on.
	ExpectedVersion int64
	AppliedBy       string
	DryRun          bool
	// Edit returns the new declarations made from those of ExpectedVersion,
	// or findings. It must not change its argument.
	Edit func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding)
}

// Apply publishes the declarations of the request as the next version.
func (s *Spreader) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyReply, error) {
	return s.Publish(ctx, Change{
		OperationID:     req.OperationId,
		ExpectedVersion: req.ExpectedVersion,
		AppliedBy:       req.By,
		DryRun:          req.DryRun,
		Edit: func(*messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			return req.Declarations, nil
		},
	})
}

// Publish makes a new version by conditional update. It returns ErrConflict if
// another version than the expected one is present, ErrOutcomeUnknown if the
// change may or may not take effect. With findings in the reply nothing was
// changed. A repeated operation ID returns the version that it first produced.
func (s *Spreader) Publish(ctx context.Context, c Change) (*messenger.ApplyReply, error) {
	if err := checkChange(c); err != nil {
		return nil, err
	}
	var last error
	written := false
	for attempt := range publishAttempts {
		if attempt > 1 {
			if err := s.cfg.Clock.Sleep(ctx, publishBackoffMs<<attempt); err != nil {
				break
			}
		}
		reply, wrote, err := s.publishOnce(ctx, c)
		written = written || wrote
		if err == nil || IsErrConflict(err) || storer.IsErrTooLarge(err) {
			return reply, err
		}
		last = err
	}
	if !written {
		return nil, trace.Wrap(last)
	}
	return nil, ErrOutcomeUnknown{OperationID: c.OperationID, Cause: last.Error()}
}

func checkChange(c Change) error {
	switch {
	case c.OperationID == "" && !c.DryRun:
		return ErrBadRequest{Field: "OperationId", Reason: "must be set"}
	case len(c.OperationID) > maxOperationID:
		return ErrBadRequest{Field: "OperationId", Reason: fmt.Sprintf("is longer than %d bytes", maxOperationID)}
	}
	return nil
}

// publishOnce reads the head and tries to replace it. The second result tells
// whether a write of the head was sent.
func (s *Spreader) publishOnce(ctx context.Context, c Change) (*messenger.ApplyReply, bool, error) {
	head, objectVersion, err := s.readHead(ctx)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	if version, ok := outcome(head, c.OperationID); ok {
		_ = s.learnHead(ctx, head)
		return &messenger.ApplyReply{Version: version}, false, nil
	}
	if inForce := s.Index().Version(); head.Version < inForce {
		return nil, false, trace.Errorf("version %d is in force here, the platform told %d", inForce, head.Version)
	}
	if head.Version != c.ExpectedVersion {
		return nil, false, ErrConflict{
			Expected: c.ExpectedVersion, Actual: head.Version,
			AppliedBy: head.AppliedBy, AppliedAt: clocker.Millis(head.AppliedAtMs),
		}
	}
	if err := s.learnHead(ctx, head); err != nil {
		return nil, false, trace.Wrap(err)
	}
	before := s.now.Load()
	if before.head.Version != head.Version {
		return nil, false, trace.Errorf("version %d went by during the change", head.Version)
	}
	after, reply := edited(c, before.index)
	if len(reply.Findings) > 0 || len(reply.Changes) == 0 || c.DryRun {
		return reply, false, nil
	}
	parts, err := Split(after)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	version, wrote, err := s.replaceHead(ctx, head, nextHead(c, head, parts, s.cfg.Clock.Now()), objectVersion, parts)
	reply.Version = version
	return reply, wrote, err
}

// edited returns the new declarations with findings and differences.
func edited(c Change, index *indexer.Index) (*messenger.Declarations, *messenger.ApplyReply) {
	before := index.Configuration.GetDeclarations()
	if before == nil {
		before = &messenger.Declarations{}
	}
	after, findings := c.Edit(before)
	findings = append(findings, validator.Declarations("", after)...)
	findings = append(findings, validator.Transitions("", before, after)...)
	return after, &messenger.ApplyReply{
		Version:  index.Version(),
		Findings: findings,
		Changes:  differ.Diff(before, after),
	}
}

// replaceHead writes the parts that the present version lacks, then the head,
// then deletes parts that are retired for long.
func (s *Spreader) replaceHead(ctx context.Context, before, next *messenger.ConfigurationHead, objectVersion int64, parts []*messenger.ConfigurationPart) (int64, bool, error) {
	byKey := make(map[string]*messenger.ConfigurationPart, len(parts))
	for _, p := range parts {
		byKey[p.Key] = p
		if slices.Contains(before.PartKeys, p.Key) {
			continue
		}
		if err := s.writePart(ctx, p); err != nil {
			return 0, false, trace.Wrap(err)
		}
	}
	expired := s.takeExpired(ctx, next)
	value, err := proto.Marshal(next)
	if err != nil {
		return 0, false, trace.Wrap(err)
	}
	if err := s.writeHead(ctx, objectVersion, value); err != nil {
		return 0, true, trace.Wrap(err)
	}
	count("published", "self")
	s.deleteExpired(ctx, expired)
	return next.Version, true, s.adopt(next, byKey, "self")
}

func (s *Spreader) writeHead(ctx context.Context, objectVersion int64, value []byte) error {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	return s.paced(ctx, func() error {
		if objectVersion == 0 {
			_, err := s.cfg.Store.Create(ctx, HeadKey, value)
			return err
		}
		_, err := s.cfg.Store.Update(ctx, HeadKey, objectVersion, value)
		return err
	})
}

func nextHead(c Change, before *messenger.ConfigurationHead, parts []*messenger.ConfigurationPart, now clocker.Millis) *messenger.ConfigurationHead {
	next := &messenger.ConfigurationHead{
		Version:     before.Version + 1,
		AppliedBy:   c.AppliedBy,
		AppliedAtMs: int64(now),
		OperationId: c.OperationID,
	}
	for _, p := range parts {
		next.PartKeys = append(next.PartKeys, p.Key)
	}
	next.Retired = retire(before, next.PartKeys, now)
	next.Outcomes = append(next.Outcomes, before.Outcomes...)
	next.Outcomes = append(next.Outcomes, &messenger.OperationOutcome{OperationId: c.OperationID, Version: next.Version})
	if extra := len(next.Outcomes) - maxOutcomes; extra > 0 {
		next.Outcomes = next.Outcomes[extra:]
	}
	return next
}

func outcome(head *messenger.ConfigurationHead, operationID string) (int64, bool) {
	for _, o := range head.Outcomes {
		if o.OperationId == operationID && operationID != "" {
			return o.Version, true
		}
	}
	return 0, false
}
