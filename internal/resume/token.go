// Package resume seals a caller's position in a stream into an opaque token,
// the SSE event id. Any router with the cluster key can open it and resume the
// stream without state of the request.
package resume

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// formatVersion is the first byte of every token.
	formatVersion = 1
	// saltBytes is the size of the random salt of each Sealer.
	saltBytes = 16
	// counterBytes is the size of the counter that makes nonces unique.
	counterBytes = 8
	// keyBytes is the size of an AES-256 key.
	keyBytes = 32
	// headerBytes is the size of a token's unencrypted header: version, salt, counter.
	headerBytes = 1 + saltBytes + counterBytes
	// MaxTokenLength is the longest token that Open decodes.
	MaxTokenLength = 1024
	// MinClusterKeyBytes is the shortest cluster key accepted.
	MinClusterKeyBytes = 16
	// keyPurpose separates the token key from other uses of the cluster key.
	keyPurpose = "fieldpond resume token v1"
)

// Token is the state that a router needs to resume a stream.
type Token struct {
	Tenant  ident.Tenant
	Service ident.Service
	// Node is the router that sent the event; it may have a cancel pending.
	Node ident.Node
	// Chat is true for chat completions, false for completions.
	Chat bool
	// Created is the Unix time of the request, repeated in every chunk.
	Created  int64
	Position dispatch.Position
}

// sealed is the wire form of a Token.
type sealed struct {
	Tenant        ident.Tenant       `cbor:"1,keyasint"`
	Service       ident.Service      `cbor:"2,keyasint"`
	Chat          bool               `cbor:"3,keyasint,omitempty"`
	Created       int64              `cbor:"4,keyasint"`
	Request       ident.Request      `cbor:"5,keyasint"`
	Attempt       ident.Attempt      `cbor:"6,keyasint"`
	Engine        ident.Engine       `cbor:"7,keyasint"`
	Incarnation   ident.Incarnation  `cbor:"8,keyasint"`
	Stream        ident.Stream       `cbor:"9,keyasint"`
	Version       ident.ModelVersion `cbor:"10,keyasint"`
	Next          uint64             `cbor:"11,keyasint"`
	EmittedBytes  int                `cbor:"12,keyasint,omitempty"`
	EmittedTokens int                `cbor:"13,keyasint,omitempty"`
	PromptTokens  int                `cbor:"14,keyasint,omitempty"`
	CachedTokens  int                `cbor:"15,keyasint,omitempty"`
	Node          ident.Node         `cbor:"16,keyasint,omitempty"`
}

// Sealer seals and opens tokens. It is safe for concurrent use.
//
// Every Sealer derives its own key from the cluster key and a random salt,
// which the token carries, and counts its nonces, so that no nonce is used
// twice under one key.
type Sealer struct {
	clusterKey []byte
	salt       [saltBytes]byte
	aead       cipher.AEAD
	counter    atomic.Uint64
}

// NewSealer returns a Sealer with keys derived from the cluster key.
func NewSealer(clusterKey []byte) (*Sealer, error) {
	if len(clusterKey) < MinClusterKeyBytes {
		return nil, fault.New(fault.InvalidSettings, "the cluster key has %d bytes, it needs at least %d", len(clusterKey), MinClusterKeyBytes)
	}
	sealer := &Sealer{clusterKey: append([]byte(nil), clusterKey...)}
	if _, err := rand.Read(sealer.salt[:]); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "generating a salt")
	}
	aead, err := sealer.deriveAEAD(sealer.salt[:])
	if err != nil {
		return nil, err
	}
	sealer.aead = aead
	return sealer, nil
}

func (s *Sealer) deriveAEAD(salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, s.clusterKey, salt, keyPurpose, keyBytes)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "deriving the token key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "creating the token cipher")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "creating the token cipher")
	}
	return aead, nil
}

// Seal returns the token in URL-safe base64.
func (s *Sealer) Seal(token Token) (string, error) {
	position := token.Position
	plain, err := cbor.Marshal(sealed{
		Tenant: token.Tenant, Service: token.Service, Node: token.Node, Chat: token.Chat, Created: token.Created,
		Request: position.Request, Attempt: position.Attempt, Engine: position.Engine,
		Incarnation: position.Incarnation, Stream: position.Stream, Version: position.Version,
		Next: position.Next, EmittedBytes: position.EmittedBytes, EmittedTokens: position.EmittedTokens,
		PromptTokens: position.PromptTokens, CachedTokens: position.CachedTokens,
	})
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "encoding a resume token")
	}
	header := make([]byte, 0, headerBytes+len(plain)+s.aead.Overhead())
	header = append(header, formatVersion)
	header = append(header, s.salt[:]...)
	header = binary.BigEndian.AppendUint64(header, s.counter.Add(1))
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(header, nonce(s.aead, header), plain, header)), nil
}

// nonce returns the nonce of a token: its counter, padded with zeros in front.
func nonce(aead cipher.AEAD, header []byte) []byte {
	padded := make([]byte, aead.NonceSize())
	copy(padded[len(padded)-counterBytes:], header[headerBytes-counterBytes:headerBytes])
	return padded
}

// Open authenticates and decrypts a token for a tenant. Every failure is the same
// *fault.Fault of kind InvalidToken, so that it reveals nothing about the cause.
func (s *Sealer) Open(text string, tenant ident.Tenant) (Token, error) {
	wire, opened := s.open(text)
	if !opened || wire.Tenant != tenant {
		return Token{}, fault.New(fault.InvalidToken, "the resume token is not valid for this cluster and tenant")
	}
	return Token{
		Tenant: wire.Tenant, Service: wire.Service, Node: wire.Node, Chat: wire.Chat, Created: wire.Created,
		Position: dispatch.Position{
			Request: wire.Request, Attempt: wire.Attempt, Engine: wire.Engine,
			Incarnation: wire.Incarnation, Stream: wire.Stream, Version: wire.Version,
			Next: wire.Next, EmittedBytes: wire.EmittedBytes, EmittedTokens: wire.EmittedTokens,
			PromptTokens: wire.PromptTokens, CachedTokens: wire.CachedTokens,
		},
	}, nil
}

func (s *Sealer) open(text string) (wire sealed, opened bool) {
	// The decoder skips line breaks; a token has exactly one encoding.
	if len(text) > MaxTokenLength || strings.ContainsAny(text, "\r\n") {
		return wire, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < headerBytes || raw[0] != formatVersion {
		return wire, false
	}
	header := raw[:headerBytes]
	aead, err := s.deriveAEAD(header[1 : 1+saltBytes])
	if err != nil {
		return wire, false
	}
	plain, err := aead.Open(nil, nonce(aead, header), raw[headerBytes:], header)
	if err != nil {
		return wire, false
	}
	return wire, cbor.Unmarshal(plain, &wire) == nil
}
