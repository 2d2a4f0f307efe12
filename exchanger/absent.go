package exchanger

import (
	"context"

	"github.com/twitchtv/twirp"

	"cowsliphinge/messenger"
)

// absent refuses the calls of parts that a router does not have.
type absent struct{}

var errAbsent = twirp.NewError(twirp.Unimplemented, "this router does not take such calls")

// PullConfiguration implements Puller.
func (absent) PullConfiguration(context.Context, *messenger.PullRequest) (*messenger.PullReply, error) {
	return nil, errAbsent
}

// CopyBills implements Copier.
func (absent) CopyBills(context.Context, *messenger.BillBatch) (*messenger.CopyReply, error) {
	return nil, errAbsent
}

// TrackStreams implements Tracker.
func (absent) TrackStreams(context.Context, *messenger.TrackRequest) (*messenger.TrackReply, error) {
	return nil, errAbsent
}
