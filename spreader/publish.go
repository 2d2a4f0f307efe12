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
	// maxRecordedOutcomes is how many operation outcomes the head records.
	maxRecordedOutcomes = 128
	// maxOperationIDBytes bounds the length of an operation ID.
	maxOperationIDBytes = 64
	// maxPublishAttempts bounds the attempts of one operation.
	maxPublishAttempts = 5
	// publishBackoff is the base of the exponential back-off. The first retry
	// follows at once; the wait before a later one is publishBackoff<<attempt,
	// in milliseconds.
	publishBackoff = 100
)

// PublishRequest is a request to publish a new version.
type PublishRequest struct {
	OperationID string
	// ExpectedVersion is the version that the change is based on.
	ExpectedVersion int64
	AppliedBy       string
	DryRun          bool
	// Edit derives the new declarations from those of ExpectedVersion, or returns
	// findings. It must not modify its argument.
	Edit func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding)
}

// Apply publishes the declarations of the request as the next version.
func (s *Spreader) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyReply, error) {
	return s.Publish(ctx, PublishRequest{
		OperationID:     req.OperationId,
		ExpectedVersion: req.ExpectedVersion,
		AppliedBy:       req.By,
		DryRun:          req.DryRun,
		Edit: func(*messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			return req.Declarations, nil
		},
	})
}

// Publish creates a new version by conditional update. It returns
// ErrVersionConflict if the current version is not the expected one, and
// ErrOutcomeUnknown if the change may or may not take effect. If the reply has
// findings, nothing was changed. If the edit makes no difference, nothing is
// published and the reply has the current version. A repeated operation ID returns
// the version that it first created.
func (s *Spreader) Publish(ctx context.Context, req PublishRequest) (*messenger.ApplyReply, error) {
	if err := validateRequest(req); err != nil {
		return nil, err
	}
	var lastErr error
	headWriteSent := false
	for attempt := range maxPublishAttempts {
		if attempt > 1 {
			if err := s.cfg.Clock.Sleep(ctx, publishBackoff<<attempt); err != nil {
				break
			}
		}
		reply, sent, err := s.publishOnce(ctx, req)
		headWriteSent = headWriteSent || sent
		if err == nil || IsErrVersionConflict(err) || storer.IsErrTooLarge(err) {
			return reply, err
		}
		lastErr = err
	}
	if !headWriteSent {
		return nil, trace.Wrap(lastErr)
	}
	return nil, ErrOutcomeUnknown{OperationID: req.OperationID, Cause: lastErr.Error()}
}

func validateRequest(req PublishRequest) error {
	switch {
	case req.OperationID == "" && !req.DryRun:
		return ErrBadRequest{Field: "OperationId", Reason: "must be set"}
	case len(req.OperationID) > maxOperationIDBytes:
		return ErrBadRequest{Field: "OperationId", Reason: fmt.Sprintf("is longer than %d bytes", maxOperationIDBytes)}
	}
	return nil
}

// publishOnce reads the head and attempts to replace it. The second result
// reports whether a write of the head was sent.
func (s *Spreader) publishOnce(ctx context.Context, req PublishRequest) (*messenger.ApplyReply, bool, error) {
	head, objectVersion, err := s.readHead(ctx)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	if version, ok := recordedVersion(head, req.OperationID); ok {
		_ = s.fetchAndAdopt(ctx, head)
		return &messenger.ApplyReply{Version: version}, false, nil
	}
	if inForce := s.Index().Version(); head.Version < inForce {
		return nil, false, trace.Errorf("version %d is in force here, but the platform returned version %d", inForce, head.Version)
	}
	if head.Version != req.ExpectedVersion {
		return nil, false, ErrVersionConflict{
			Expected: req.ExpectedVersion, Actual: head.Version,
			AppliedBy: head.AppliedBy, AppliedAt: clocker.Millis(head.AppliedAtMs),
		}
	}
	if err := s.fetchAndAdopt(ctx, head); err != nil {
		return nil, false, trace.Wrap(err)
	}
	current := s.current.Load()
	if current.head.Version != head.Version {
		return nil, false, trace.Errorf("version %d was superseded during the change", head.Version)
	}
	after, reply := applyEdit(req, current.index)
	if len(reply.Findings) > 0 || len(reply.Changes) == 0 || req.DryRun {
		return reply, false, nil
	}
	parts, err := Split(after)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	version, headWriteSent, err := s.replaceHead(ctx, head, nextHead(req, head, parts, s.cfg.Clock.Now()), objectVersion, parts)
	reply.Version = version
	return reply, headWriteSent, err
}

// applyEdit returns the edited declarations, and a reply with the findings and
// the differences.
func applyEdit(req PublishRequest, index *indexer.Index) (*messenger.Declarations, *messenger.ApplyReply) {
	before := index.Configuration.GetDeclarations()
	if before == nil {
		before = &messenger.Declarations{}
	}
	after, findings := req.Edit(before)
	findings = append(findings, validator.Declarations("", after)...)
	findings = append(findings, validator.Transitions("", before, after)...)
	return after, &messenger.ApplyReply{
		Version:  index.Version(),
		Findings: findings,
		Changes:  differ.Diff(before, after),
	}
}

// replaceHead writes the parts that the previous head does not list, then the new
// head, then deletes expired parts. The second result reports whether a write of
// the head was sent.
func (s *Spreader) replaceHead(ctx context.Context, previous, next *messenger.ConfigurationHead, objectVersion int64, parts []*messenger.ConfigurationPart) (int64, bool, error) {
	byKey := make(map[string]*messenger.ConfigurationPart, len(parts))
	for _, p := range parts {
		byKey[p.Key] = p
		if slices.Contains(previous.PartKeys, p.Key) {
			continue
		}
		if err := s.writePart(ctx, p); err != nil {
			return 0, false, trace.Wrap(err)
		}
	}
	expired := s.removeExpired(ctx, next)
	value, err := proto.Marshal(next)
	if err != nil {
		return 0, false, trace.Wrap(err)
	}
	if err := s.writeHead(ctx, objectVersion, value); err != nil {
		return 0, true, trace.Wrap(err)
	}
	countOutcome("published", "self")
	s.deleteExpired(ctx, expired)
	return next.Version, true, s.adopt(next, byKey, "self")
}

func (s *Spreader) writeHead(ctx context.Context, objectVersion int64, value []byte) error {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.retryRateLimited(ctx, func() error {
		if objectVersion == 0 {
			_, err := s.cfg.Store.Create(ctx, HeadKey, value)
			return err
		}
		_, err := s.cfg.Store.Update(ctx, HeadKey, objectVersion, value)
		return err
	})
}

func nextHead(req PublishRequest, previous *messenger.ConfigurationHead, parts []*messenger.ConfigurationPart, now clocker.Millis) *messenger.ConfigurationHead {
	next := &messenger.ConfigurationHead{
		Version:     previous.Version + 1,
		AppliedBy:   req.AppliedBy,
		AppliedAtMs: int64(now),
		OperationId: req.OperationID,
	}
	for _, p := range parts {
		next.PartKeys = append(next.PartKeys, p.Key)
	}
	next.Retired = retiredParts(previous, next.PartKeys, now)
	next.Outcomes = append(next.Outcomes, previous.Outcomes...)
	next.Outcomes = append(next.Outcomes, &messenger.OperationOutcome{OperationId: req.OperationID, Version: next.Version})
	if extra := len(next.Outcomes) - maxRecordedOutcomes; extra > 0 {
		next.Outcomes = next.Outcomes[extra:]
	}
	return next
}

func recordedVersion(head *messenger.ConfigurationHead, operationID string) (int64, bool) {
	for _, o := range head.Outcomes {
		if o.OperationId == operationID && operationID != "" {
			return o.Version, true
		}
	}
	return 0, false
}
