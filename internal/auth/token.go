package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// secretBytes is the length of a new secret before encoding.
const secretBytes = 32

// Token is an entry of a token file: the hash of a secret and the name of its owner.
type Token struct {
	// Name is an organisation, an operator, or the pool that a target may
	// join. "*" lets a target join any pool.
	Name string `json:"name"`
	// SHA256 is the hash of the secret as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Tokens is the content of a token file.
type Tokens struct {
	Tokens []Token `json:"tokens"`
}

// DecodeTokens decodes and checks a token file, which is JSON with comments. Its errors
// are of type *table.FieldError and include the line.
func DecodeTokens(b []byte) (*Tokens, error) {
	var t Tokens
	if err := table.DecodeFile(b, &t); err != nil {
		return nil, err
	}
	if err := t.Check(); err != nil {
		return nil, table.AtLine(b, err)
	}
	return &t, nil
}

// Check returns the first invalid field as a *table.FieldError, or nil.
func (t *Tokens) Check() error {
	seen := make(map[string]bool, len(t.Tokens))
	for i, token := range t.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		if token.Name == "" {
			return &table.FieldError{Field: field + ".name", Message: "missing"}
		}
		if b, err := hex.DecodeString(token.SHA256); err != nil || len(b) != sha256.Size {
			return &table.FieldError{Field: field + ".sha256", Message: "not 64 hexadecimal digits"}
		}
		if seen[token.SHA256] {
			return &table.FieldError{Field: field + ".sha256", Message: "already used by an earlier token"}
		}
		seen[token.SHA256] = true
	}
	return nil
}

// NewSecret returns a random secret in URL-safe base64.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // Never returns an error: it aborts the process instead.
	return base64.RawURLEncoding.EncodeToString(b)
}

// Hash returns the hash of a secret as stored in token files.
func Hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}
