package runner

import (
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/storer"
)

// testConfigurations are the declarations that the objects of these tests name.
var testConfigurations = map[string]matcher.Declaration{
	"seven": testDeclaration(7, "r"),
	"nine":  testDeclaration(9, "r", "n"),
}

// testDeclaration returns a valid declaration with routes of these names.
func testDeclaration(version int64, routes ...string) matcher.Declaration {
	d := matcher.Declaration{Version: version, Services: []*matcher.Service{{Name: "s"}}}
	for _, name := range routes {
		d.Routes = append(d.Routes, &matcher.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Splits: []matcher.Split{{Service: "s", Weight: 1}}})
	}
	return d
}

// newTestConfigurationSink returns a sink that also decodes objects named "invalid".
func newTestConfigurationSink(invalid matcher.Declaration) *configurationSink {
	return &configurationSink{
		platform: Platform{ConfigurationKey: "config/main", DecodeDeclaration: func(o storer.Object) (matcher.Declaration, error) {
			if string(o.Value) == "invalid" {
				return invalid, nil
			}
			d, known := testConfigurations[string(o.Value)]
			if !known {
				return d, errors.New("no configuration")
			}
			return d, nil
		}},
		clock:        clocker.NewManual(1000),
		log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
		table:        &atomic.Pointer[matcher.Table]{},
		inForceSince: &atomic.Int64{},
	}
}

func configurationObject(value string) storer.Object {
	return storer.Object{Key: "config/main", Value: []byte(value)}
}

// Guards against a return to an older version: a list, a watch or a deletion arrives after a
// newer version is in force.
func TestOlderConfigurationNeverReplacesTheOneInForce(t *testing.T) {
	c := newTestConfigurationSink(matcher.Declaration{})
	c.Apply([]storer.Change{{Object: configurationObject("seven")}, {Object: configurationObject("nine")}}, 0)
	c.Apply([]storer.Change{{Object: configurationObject("seven")}}, 0)
	c.Replace([]storer.Object{configurationObject("seven")}, 0)
	c.Apply([]storer.Change{{Object: configurationObject("seven"), Deleted: true}}, 0)
	c.Replace(nil, 0)
	assert.Equal(t, c.table.Load().Version, int64(9))
}

// Guards against an added route that is not served: it must be found as soon as its version
// is in force, and the earlier routes with it.
func TestAddedRouteIsServedOnceInForce(t *testing.T) {
	c := newTestConfigurationSink(matcher.Declaration{})
	c.Replace([]storer.Object{configurationObject("seven")}, 0)
	assert.Assert(t, c.table.Load().Route("h", "/n/x") == nil)
	c.Apply([]storer.Change{{Object: configurationObject("nine")}}, 0)
	assert.Equal(t, c.table.Load().Route("h", "/n/x").Name, "n")
	assert.Equal(t, c.table.Load().Route("h", "/r/x").Name, "r")
}

// Guards against an invalid configuration in force: another writer leaves an object that can't be
// decoded, one without a version, or one whose routes match nothing or name services that it does
// not declare. The adapter's test covers objects with missing or wrong fields.
func TestInvalidConfigurationIsNotPutInForce(t *testing.T) {
	unknownService, noPrefix := testDeclaration(9, "r"), testDeclaration(9, "r")
	unknownService.Routes[0].Splits[0].Service = "t"
	noPrefix.Routes[0].PathPrefix = ""
	for name, invalid := range map[string]matcher.Declaration{
		"no version":      testDeclaration(0, "r"),
		"negative":        testDeclaration(-9, "r"),
		"unknown service": unknownService,
		"no prefix":       noPrefix,
	} {
		t.Run(name, func(t *testing.T) {
			for _, value := range []string{"invalid", "not decoded"} {
				c := newTestConfigurationSink(invalid)
				c.Replace([]storer.Object{configurationObject(value)}, 0)
				assert.Assert(t, c.table.Load() == nil, "put in force at the start")
				c.Replace([]storer.Object{configurationObject("seven")}, 0)
				c.Apply([]storer.Change{{Object: configurationObject(value)}}, 0)
				assert.Equal(t, c.table.Load().Version, int64(7))
			}
		})
	}
}
