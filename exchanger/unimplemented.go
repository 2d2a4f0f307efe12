package exchanger

import (
	"context"

	"github.com/twitchtv/twirp"

	"cowsliphinge/messenger"
)

// unimplemented rejects the optional calls for which a router has no handler.
type unimplemented struct{}

var errUnimplemented = twirp.NewError(twirp.Unimplemented, "this router does not take such calls")

// PullConfiguration implements ConfigurationProvider.
func (unimplemented) PullConfiguration(context.Context, *messenger.PullRequest) (*messenger.PullReply, error) {
	return nil, errUnimplemented
}

// CopyBills implements BillCopyHandler.
func (unimplemented) CopyBills(context.Context, *messenger.BillBatch) (*messenger.CopyReply, error) {
	return nil, errUnimplemented
}

// ShareOrigins implements OriginKeeper.
func (unimplemented) ShareOrigins(context.Context, *messenger.OriginRequest) (*messenger.OriginReply, error) {
	return nil, errUnimplemented
}

// TrackStreams implements StreamTracker.
func (unimplemented) TrackStreams(context.Context, *messenger.TrackRequest) (*messenger.TrackReply, error) {
	return nil, errUnimplemented
}
