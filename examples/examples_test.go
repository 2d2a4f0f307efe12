package examples_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/decoder"
	"cowsliphinge/examples"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/validator"
)

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
