package router_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
	"cowsliphinge/router"
)

// writeCertificate writes a self-signed certificate for the loopback address and
// returns its files and a client configuration that trusts it.
func writeCertificate(t *testing.T) (*messenger.TlsFiles, *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
		return path
	}
	files := &messenger.TlsFiles{
		CertificateFile: write("cert.pem", "CERTIFICATE", der),
		KeyFile:         write("key.pem", "EC PRIVATE KEY", keyDER),
		AuthorityFile:   filepath.Join(dir, "cert.pem"),
	}
	pool := x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool.AddCert(parsed)
	return files, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// TestListenersServeTLS calls both listeners over TLS. The caller listener must
// refuse plain HTTP.
func TestListenersServeTLS(t *testing.T) {
	files, clientConfig := writeCertificate(t)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	exchange, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r, err := router.New(context.Background(), router.Config{
		Settings: &messenger.Settings{
			Host: "host-a", AvailabilityZone: "a", PlatformUrl: "http://127.0.0.1:1",
			CallerAddress: callers.Addr().String(), ExchangeAddress: exchange.Addr().String(),
			OperatorKey: "operator-key-operator-key", RouterKey: "router-key-router-key",
			CallerTls: files, ExchangeTls: files,
		},
		Clock: clocker.NewWall(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), CallerListener: callers, ExchangeListener: exchange,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = r.Kill() })
	tlsClient := &http.Client{Transport: &http.Transport{TLSClientConfig: clientConfig}}
	resp, err := tlsClient.Get("https://" + callers.Addr().String() + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, 200)
	querier := messenger.NewQuerierProtobufClient("https://"+exchange.Addr().String(), exchanger.NewHTTPClient("operator-key-operator-key", clientConfig))
	_, err = querier.GetConfiguration(context.Background(), &messenger.GetConfigurationRequest{})
	assert.NilError(t, err)
	_, err = http.Get("http://" + callers.Addr().String() + "/healthz")
	assert.Assert(t, err != nil)
}
