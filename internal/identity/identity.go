// Package identity derives mutual TLS configurations from the fleet key, and generates random ids.
package identity

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"fmt"
	"math/big"
	"time"
)

// Identity holds the certificate of one process and the root certificate of its fleet.
type Identity struct {
	name        string
	certificate tls.Certificate
	roots       *x509.CertPool
}

// MinKeyBytes is the minimum length of the fleet key in bytes.
const MinKeyBytes = 32

const (
	serverName   = "sapphiresail"
	alpnProtocol = "sapphiresail/1"
)

var (
	validFrom = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	validTo   = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// New returns the identity of the process called name in the fleet that shares fleetKey, which is hex-encoded.
func New(name, fleetKey string) (*Identity, error) {
	secret, err := hex.DecodeString(fleetKey)
	if err != nil || len(secret) < MinKeyBytes {
		return nil, fmt.Errorf("fleet key: want at least %d bytes in hex", MinKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, "sapphiresail fleet authority", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive fleet authority: %w", err)
	}
	authority := ed25519.NewKeyFromSeed(seed)
	root, err := rootCertificate(authority)
	if err != nil {
		return nil, err
	}
	certificate, err := leafCertificate(name, root, authority)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(root)
	return &Identity{name: name, certificate: certificate, roots: roots}, nil
}

func rootCertificate(authority ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "sapphiresail fleet"},
		NotBefore:             validFrom,
		NotAfter:              validTo,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, authority.Public(), authority)
	if err != nil {
		return nil, fmt.Errorf("create fleet certificate: %w", err)
	}
	return x509.ParseCertificate(der)
}

func leafCertificate(name string, root *x509.Certificate, authority ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("generate key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("generate serial: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{serverName},
		NotBefore:    validFrom,
		NotAfter:     validTo,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, root, public, authority)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("create certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// ServerTLS returns the TLS configuration for accepting connections; peers without the fleet key are rejected.
func (i *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.roots,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
	}
}

// ClientTLS returns the TLS configuration for dialing; servers without the fleet key are rejected.
func (i *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.roots,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
	}
}

// Name returns the name in the certificate of this process.
func (i *Identity) Name() string { return i.name }

// RandomHex returns n random bytes, hex-encoded.
func RandomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
