package router

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

// serverTLS returns the TLS configuration of a listener, or nil for plain TCP.
func serverTLS(files *messenger.TlsFiles) (*tls.Config, error) {
	if files.GetCertificateFile() == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// clientTLS returns the TLS configuration of a client of listeners that use the
// same files, or nil for plain TCP.
func clientTLS(files *messenger.TlsFiles) (*tls.Config, error) {
	if files.GetCertificateFile() == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if files.AuthorityFile == "" {
		return cfg, nil
	}
	content, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(content) {
		return nil, trace.Wrap(errors.New("AuthorityFile holds no certificate"))
	}
	return cfg, nil
}
