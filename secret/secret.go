// Package secret derives from the fleet's shared secret the TLS settings with
// which nodes authenticate one another.
//
// Every node derives the same certificate authority from the secret and issues
// itself a certificate when it starts. Both ends of a connection between nodes
// must present such a certificate, so the peer port serves only holders of the
// secret, and messages are encrypted with keys generated for each connection.
package secret

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// MinBytes is the minimum length of a fleet's secret.
const MinBytes = 32

const (
	// serverName is the name in every node's certificate. Nodes are identified
	// by the secret and not by an address, so all share one name.
	serverName = "node.bergamotloom.example"

	// derivationInfo must be the same on all nodes: another text gives another
	// authority.
	derivationInfo = "bergamotloom fleet authority 1"

	// Each node derives the authority separately and must get the same one, so
	// its validity period is fixed. A node's own certificate has the same one.
	validFromYear  = 2020
	validUntilYear = 2120

	sessionCacheSize = 1024
)

// Secret holds what a node derives from the secret that all nodes of the fleet
// share. It's immutable.
type Secret struct {
	pool        *x509.CertPool
	certificate tls.Certificate
}

// New derives the fleet's authority from the secret's bytes and issues a
// certificate for this process. It returns an error if the secret is shorter
// than MinBytes.
func New(secret []byte) (*Secret, error) {
	if len(secret) < MinBytes {
		return nil, errors.Errorf("the fleet's secret has %d bytes, it needs at least %d", len(secret), MinBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, derivationInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "deriving the fleet's authority")
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := createAuthority(authorityKey)
	if err != nil {
		return nil, err
	}
	certificate, err := issue(authority, authorityKey)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &Secret{pool: pool, certificate: certificate}, nil
}

// ServerTLS returns the settings of the peer port. Protocols are the names of
// the application protocols that it offers (ALPN).
func (s *Secret) ServerTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.pool,
		NextProtos:   protocols,
	}
}

// ClientTLS returns the settings for connections to other nodes' peer ports.
func (s *Secret) ClientTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{s.certificate},
		RootCAs:            s.pool,
		ServerName:         serverName,
		NextProtos:         protocols,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
	}
}

func createAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "bergamotloom fleet"},
		NotBefore:             time.Date(validFromYear, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:              time.Date(validUntilYear, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "creating the fleet's authority")
	}
	return parse(der)
}

func issue(authority *x509.Certificate, authorityKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generating the node's key")
	}
	// X.509 allows serial numbers of up to 20 bytes.
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generating the serial number of the node's certificate")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    authority.NotBefore,
		NotAfter:     authority.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "issuing the node's certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func parse(der []byte) (*x509.Certificate, error) {
	c, err := x509.ParseCertificate(der)
	return c, errors.Wrap(err, "parsing a certificate of the fleet")
}
