package runner

import (
	"io"
	"log/slog"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
	"cowsliphinge/platform"
	"cowsliphinge/storer"
)

func newTestConfigurationSink() *configurationSink {
	return &configurationSink{
		platform: Platform{ConfigurationKey: platform.ConfigurationKey, DecodeDeclaration: platform.Declaration},
		log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
		table:    &atomic.Pointer[matcher.Table]{},
	}
}

const (
	testConfiguration7 = `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/r/","service":"s"}],"services":[{"name":"s"}],"limits":{},"tenants":[]}`
	testConfiguration9 = `{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/r/","service":"s"},{"name":"n","host":"h","path_prefix":"/n/","service":"s"}],"services":[{"name":"s"}],"limits":{},"tenants":[]}`
)

func configurationObject(value string) storer.Object {
	return storer.Object{Key: platform.ConfigurationKey, Value: []byte(value)}
}

// Guards against a return to an older version: a list, a watch or a deletion arrives after a
// newer version is in force.
func TestOlderConfigurationNeverReplacesTheOneInForce(t *testing.T) {
	c := newTestConfigurationSink()
	c.Apply([]storer.Change{{Object: configurationObject(testConfiguration7)}, {Object: configurationObject(testConfiguration9)}}, 0)
	c.Apply([]storer.Change{{Object: configurationObject(testConfiguration7)}}, 0)
	c.Replace([]storer.Object{configurationObject(testConfiguration7)}, 0)
	c.Apply([]storer.Change{{Object: configurationObject(testConfiguration7), Deleted: true}}, 0)
	c.Replace(nil, 0)
	assert.Equal(t, c.table.Load().Version, int64(9))
}

// Guards against an added route that is not served: it must be found as soon as its version
// is in force, and the earlier routes with it.
func TestAddedRouteIsServedOnceInForce(t *testing.T) {
	c := newTestConfigurationSink()
	c.Replace([]storer.Object{configurationObject(testConfiguration7)}, 0)
	assert.Assert(t, c.table.Load().Route("h", "/n/x") == nil)
	c.Apply([]storer.Change{{Object: configurationObject(testConfiguration9)}}, 0)
	assert.Equal(t, c.table.Load().Route("h", "/n/x").Name, "n")
	assert.Equal(t, c.table.Load().Route("h", "/r/x").Name, "r")
}

// Guards against an invalid configuration in force: another writer leaves an object with
// missing or wrong fields, or one whose routes name services that it does not declare.
func TestInvalidConfigurationIsNotPutInForce(t *testing.T) {
	for name, value := range map[string]string{
		"truncated":       `{"version":9,"routes":[`,
		"wrong type":      `{"version":"9","routes":[],"services":[]}`,
		"null":            `null`,
		"no version":      `{"routes":[],"services":[]}`,
		"no routes":       `{"version":9,"services":[{"name":"s"}]}`,
		"no services":     `{"version":9,"routes":[]}`,
		"negative":        `{"version":-9,"routes":[],"services":[]}`,
		"unknown service": `{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/r/","service":"t"}],"services":[{"name":"s"}]}`,
		"no prefix":       `{"version":9,"routes":[{"name":"r","host":"h","service":"s"}],"services":[{"name":"s"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestConfigurationSink()
			c.Replace([]storer.Object{configurationObject(value)}, 0)
			assert.Assert(t, c.table.Load() == nil, "put in force at the start")
			c.Replace([]storer.Object{configurationObject(testConfiguration7)}, 0)
			c.Apply([]storer.Change{{Object: configurationObject(value)}}, 0)
			assert.Equal(t, c.table.Load().Version, int64(7))
		})
	}
}
