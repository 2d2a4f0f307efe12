package runner

import (
	"log/slog"
	"strings"
	"sync/atomic"

	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

// configurationSink puts the declaration of the configuration object in force. It
// ignores versions that are not higher than the one in force.
type configurationSink struct {
	platform Platform
	clock    *clocker.Clock
	log      *slog.Logger
	table    *atomic.Pointer[matcher.Table]
	// inForceSince is set to the time at which the table changed, in milliseconds.
	inForceSince *atomic.Int64
}

// Replace implements watcher.Sink.
func (c *configurationSink) Replace(objects []storer.Object, _ clocker.Millis) {
	for _, o := range objects {
		c.applyObject(o, "list")
	}
}

// Apply implements watcher.Sink.
func (c *configurationSink) Apply(changes []storer.Change, _ clocker.Millis) {
	for _, change := range changes {
		if !change.Deleted {
			c.applyObject(change.Object, "watch")
		}
	}
}

// applyObject puts the declaration of the object in force if its version is higher than the
// one in force. call is the call of the store that returned it, for the log.
func (c *configurationSink) applyObject(o storer.Object, call string) {
	if o.Key != c.platform.ConfigurationKey {
		return
	}
	startedAt := c.clock.Now()
	d, err := c.platform.DecodeDeclaration(o)
	if err != nil {
		c.log.Error("configuration can't be read, the one in force stays", "cause", err.Error())
		return
	}
	if findings := d.Validate(); len(findings) > 0 {
		c.log.Error("configuration is invalid, the one in force stays", "version", d.Version, versioner.Attr(o.Version), "findings", strings.Join(findings, "; "))
		return
	}
	old := c.table.Load()
	if old != nil && d.Version <= old.Version {
		return
	}
	c.table.Store(matcher.New(d))
	now := c.clock.Now()
	c.inForceSince.Store(int64(now))
	// Declaration.Version is the version of the configuration, Object.Version the revision
	// of the store.
	c.log.Info("configuration in force", "version", d.Version, versioner.Attr(o.Version), "call", call, "routes", len(d.Routes), "services", len(d.Services), "accounts", len(d.Accounts), "took_ms", now-startedAt)
}
