package cvpeers_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/peers/cvmutualtls"
	"comfreyvale/io/peers/cvpeers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, file: writePEM(t, "CERTIFICATE", der)}
}

// issue returns the TLS configuration of a balancer whose certificate the authority has signed.
func (a *authority) issue(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{"comfreyvale"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := &cvmutualtls.Files{Certificate: writePEM(t, "CERTIFICATE", der), Key: writePEM(t, "EC PRIVATE KEY", keyDER), Authority: a.file, Name: "comfreyvale"}
	config, err := files.MutualTLS()
	require.NoError(t, err)
	return config
}

func writePEM(t *testing.T, kind string, der []byte) string {
	path := filepath.Join(t.TempDir(), "file.pem")
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func newPeers(t *testing.T, process string, config *tls.Config) (peers *cvpeers.Peers, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &cvpeers.Peers{
		Process: process, Listener: listener, TLS: config, Metrics: cvmetrics.New(), OnLinkChange: func(string, bool, bool) {},
		Handle: func(_ context.Context, from string, _ *cvwire.PeerRequest) *cvwire.PeerReply {
			return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Claim{Claim: &cvwire.ClaimReply{Condition: process + " to " + from}}}
		},
	}
	return p, listener.Addr().String()
}

func start(t *testing.T, p *cvpeers.Peers) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestLinks guards against links that fail without TLS or with one certificate authority, and against links that open
// with different authorities or with TLS on one side only.
func TestLinks(t *testing.T) {
	first, second := newAuthority(t, "first"), newAuthority(t, "second")
	cases := map[string]struct {
		a, b   *tls.Config
		linked bool
	}{
		"plain":             {linked: true},
		"one authority":     {a: first.issue(t), b: first.issue(t), linked: true},
		"another authority": {a: first.issue(t), b: second.issue(t)},
		"plain to secured":  {b: first.issue(t)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, _ := newPeers(t, "a", c.a)
			b, address := newPeers(t, "b", c.b)
			a.SetAddresses(map[string]string{"b": address})
			start(t, a)
			start(t, b)
			linked := func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 }
			if !c.linked {
				require.Never(t, linked, 400*time.Millisecond, 20*time.Millisecond)
				return
			}
			require.Eventually(t, linked, 10*time.Second, 10*time.Millisecond)
			for from, to := range map[*cvpeers.Peers]string{a: "b", b: "a"} {
				reply, err := from.Call(context.Background(), to, &cvwire.PeerRequest{})
				require.NoError(t, err)
				require.Equal(t, to+" to "+from.Process, reply.GetClaim().GetCondition())
			}
			a.SetAddresses(nil)
		})
	}
}

// TestStoppedProcessAnswersNothing guards against a link whose peer says its name only after this process has stopped: the
// process would still answer claims of the keys that it generated.
func TestStoppedProcessAnswersNothing(t *testing.T) {
	p, address := newPeers(t, "b", nil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	defer session.Close()
	// A first answer of the session shows that the process has accepted the link.
	_, err = session.Ping()
	require.NoError(t, err)
	stop()
	require.NoError(t, <-done)
	send := func(request *cvwire.PeerRequest) error {
		stream, err := session.OpenStream()
		if err != nil {
			return err
		}
		defer stream.Close()
		stream.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := protodelim.MarshalTo(stream, request); err != nil {
			return err
		}
		return protodelim.UnmarshalFrom(bufio.NewReader(stream), &cvwire.PeerReply{})
	}
	_ = send(&cvwire.PeerRequest{From: "a", Request: &cvwire.PeerRequest_Hello{Hello: &cvwire.Hello{Process: "a"}}})
	require.Error(t, send(&cvwire.PeerRequest{From: "a", Request: &cvwire.PeerRequest_Claim{Claim: &cvwire.ClaimRequest{Key: "k"}}}))
}

// TestLinkStaysWithoutAddress guards against a link that is closed when the address of its peer is removed, and against
// requests on it that are handled with a context that has ended: a balancer that leaves still hands over its answers.
func TestLinkStaysWithoutAddress(t *testing.T) {
	a, _ := newPeers(t, "a", nil)
	b, address := newPeers(t, "b", nil)
	a.Handle = func(ctx context.Context, _ string, _ *cvwire.PeerRequest) *cvwire.PeerReply {
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Claim{Claim: &cvwire.ClaimReply{Condition: fmt.Sprint("context: ", ctx.Err())}}}
	}
	start(t, a)
	start(t, b)
	a.SetAddresses(map[string]string{"b": address})
	require.Eventually(t, func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 }, 20*time.Second, time.Millisecond)
	a.SetAddresses(nil)
	closed := func() bool { return len(a.Linked()) == 0 || len(b.Linked()) == 0 }
	require.Never(t, closed, 200*time.Millisecond, time.Millisecond)
	reply, err := b.Call(context.Background(), "a", &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Claim{Claim: &cvwire.ClaimRequest{Key: "k"}}})
	require.NoError(t, err)
	require.Equal(t, "context: <nil>", reply.GetClaim().GetCondition())
}
