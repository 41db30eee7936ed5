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

// MaxChunk is the largest chunk, in bytes, so that one fits a message.
const MaxChunk = 64 << 20

// Digest names data by its SHA-256.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Encode returns the bytes whose digest names the manifest.
func (m *Manifest) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "manifest")
	}
	return b, nil
}

// names reports whether data is what an artifact's name says. A name that is no
// digest says nothing of the bytes: whoever names artifacts so must notice by
// itself that a manifest was spoilt on its way, as its chunks then never match.
func names(artifact string, data []byte) bool {
	return !strings.HasPrefix(artifact, digestPrefix) || Digest(data) == artifact
}

const digestPrefix = "sha256:"

// ParseManifest decodes data if it is what the artifact's name says and is well
// formed.
func ParseManifest(data []byte, artifact string) (*Manifest, error) {
	if !names(artifact, data) {
		return nil, fault.New(fault.Corrupt, "manifest "+artifact)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, "manifest")
	}
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			if c.Size < 1 || c.Size > MaxChunk || !strings.HasPrefix(c.Digest, digestPrefix) {
				return nil, fault.New(fault.Garbage, "manifest: chunk of "+f.Name)
			}
		}
	}
	return &m, nil
}

// Chunks returns every different chunk once, in order of first use.
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

// Split describes data as a file of chunks of the given size, for tools that
// publish artifacts.
func Split(name string, data []byte, size int) File {
	f := File{Name: name}
	for len(data) > 0 {
		n := min(size, len(data))
		f.Chunks = append(f.Chunks, Chunk{Digest: Digest(data[:n]), Size: n})
		data = data[n:]
	}
	return f
}
