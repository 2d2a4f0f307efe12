package examples_test

import (
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/decoder"
	"cowsliphinge/examples"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/runner"
	"cowsliphinge/validator"
)

// platformSettings is the example of the settings that route reads.
const platformSettings = "platform/settings.json"

func TestDeclarationsAreValid(t *testing.T) {
	for _, deployment := range examples.Deployments {
		d, err := examples.Declarations(deployment)
		assert.NilError(t, err)
		index := indexer.New(&messenger.Configuration{Declarations: d})
		for _, a := range d.ClientAccounts {
			assert.Equal(t, index.Authenticate(examples.Key(a.Name)).GetName(), a.Name)
		}
	}
}

func TestSettingsAreValid(t *testing.T) {
	n := 0
	err := filepath.WalkDir(".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(name) != ".json" || entry.Name() == "declarations.json" {
			return err
		}
		if name == platformSettings {
			return nil // of another command, see TestPlatformSettingsAreValid
		}
		n++
		settings := &messenger.Settings{}
		findings, err := decoder.File(name, settings)
		assert.NilError(t, err)
		findings = append(findings, validator.Settings(name, settings)...)
		assert.Equal(t, len(findings), 0, "%v", decoder.ErrFindings{Findings: findings})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, n > 16)
	_, err = os.Stat("settings.json")
	assert.NilError(t, err)
}

// Guards against an example for route that is missing or that route rejects.
func TestPlatformSettingsAreValid(t *testing.T) {
	settings, err := runner.ReadSettings(platformSettings)
	assert.NilError(t, err)
	assert.Assert(t, settings.MemoryMb > 0)
	for _, address := range []string{settings.CallerAddress, settings.ReadyAddress, settings.ExchangeAddress, settings.StoreAddress} {
		parsed, err := netip.ParseAddrPort(address)
		assert.NilError(t, err)
		assert.Assert(t, parsed.Addr().IsLoopback(), address)
	}
}

// namedFile matches the files of the repository that commands and pages name as examples.
var namedFile = regexp.MustCompile(`\b(examples|experiments|deploy)/[A-Za-z0-9_./-]+\.(json|toml)\b`)

// Guards against a help text or a page that names an example file which does not exist.
func TestNamedFilesExist(t *testing.T) {
	n := 0
	for _, pattern := range []string{"../README.md", "../docs/*.md", "../cmd/*.go"} {
		names, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		for _, name := range names {
			content, err := os.ReadFile(name)
			assert.NilError(t, err)
			for _, file := range namedFile.FindAllString(string(content), -1) {
				n++
				_, err := os.Stat(filepath.Join("..", file))
				assert.NilError(t, err, "%s names %s", name, file)
			}
		}
	}
	assert.Assert(t, n > 10, "%d files named", n)
}
