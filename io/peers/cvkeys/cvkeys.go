// Package cvkeys is the loading of certificates and keys.
package cvkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Keys names the PEM files of one certificate.
type Keys struct {
	// Certificate and Key are the files of the certificate and its key.
	Certificate, Key string
	// Authority is the file of the authority that signs the certificates of both sides.
	Authority string
	// Name is what the certificates are issued for.
	Name string
}

// Mutual returns the configuration of links on which both sides prove who they are, or nil without a certificate.
func (k *Keys) Mutual() (*tls.Config, error) {
	if k.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, fail("load", comfreyvale.KindInvalid, err)
	}
	authority, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, fail("load", comfreyvale.KindInvalid, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fail("load", comfreyvale.KindInvalid, errors.Errorf("%s holds no certificate", k.Authority))
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool, ServerName: k.Name,
	}, nil
}
