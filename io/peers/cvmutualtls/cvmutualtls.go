// Package cvmutualtls provides the TLS configuration for links on which both sides present a certificate.
package cvmutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Files holds the paths of the PEM files for mutual TLS.
type Files struct {
	// Certificate and Key are the files of the certificate and its private key.
	Certificate, Key string
	// Authority is the file with the certificate of the authority that signs both sides' certificates.
	Authority string
	// Name is the server name that the accepting side's certificate must be valid for.
	Name string
}

// MutualTLS returns the configuration for mutual TLS, or nil if Certificate is empty.
func (f *Files) MutualTLS() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fail("load", comfreyvale.KindInvalid, err)
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fail("load", comfreyvale.KindInvalid, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fail("load", comfreyvale.KindInvalid, errors.Errorf("file %s contains no certificate", f.Authority))
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool, ServerName: f.Name,
	}, nil
}
