package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/poststand/poststand/fault"
)

// Chunk is a part of a file.
type Chunk struct {
	Digest string `json:"digest"` // "sha256:" and 64 hexadecimal digits.
	Size   int    `json:"size"`   // Bytes.
}

// File is one file of an artifact.
type File struct {
	Name   string  `json:"name"`
	Chunks []Chunk `json:"chunks"`
}

// Manifest describes an artifact.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Files   []File `json:"files"`
}

// MaxChunk is the largest size of a chunk in bytes. It keeps a chunk within the size limit of
// a wire message.
const MaxChunk = 64 << 20

// Digest returns the SHA-256 digest that identifies data.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Encode returns the encoded manifest, whose digest names the artifact.
func (m *Manifest) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "manifest")
	}
	return b, nil
}

// matchesDigest reports whether data has the digest that artifact names. An artifact name that
// is not a digest cannot be checked here: a caller that uses such names must itself detect a
// corrupted manifest, whose chunks then never match their digests.
func matchesDigest(artifact string, data []byte) bool {
	return !strings.HasPrefix(artifact, digestPrefix) || Digest(data) == artifact
}

const digestPrefix = "sha256:"

// ParseManifest decodes a manifest after checking data against the artifact's digest, and
// validates its chunks.
func ParseManifest(data []byte, artifact string) (*Manifest, error) {
	if !matchesDigest(artifact, data) {
		return nil, fault.New(fault.Corrupt, "digest mismatch of manifest "+artifact)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, "manifest")
	}
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			if c.Size < 1 || c.Size > MaxChunk || !strings.HasPrefix(c.Digest, digestPrefix) {
				return nil, fault.New(fault.Garbage, "manifest: invalid chunk of file "+f.Name)
			}
		}
	}
	return &m, nil
}

// Chunks returns every distinct chunk once, in order of first use.
func (m *Manifest) Chunks() []Chunk {
	var out []Chunk
	seen := map[string]bool{}
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			if !seen[c.Digest] {
				seen[c.Digest] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// Split divides data into chunks of the given size and returns the File that describes them.
// Tools that publish artifacts use it.
func Split(name string, data []byte, size int) File {
	f := File{Name: name}
	for len(data) > 0 {
		n := min(size, len(data))
		f.Chunks = append(f.Chunks, Chunk{Digest: Digest(data[:n]), Size: n})
		data = data[n:]
	}
	return f
}
