package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// Head lists the documents of a revision with their digests. Version is the revision's
// number, assigned by the platform.
type Head = Table[string]

// DocumentDigest returns the digest that identifies a document or manifest.
func DocumentDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// HeadDigest returns the digest of a set of documents, given by name and digest, so that
// two processes can check whether they hold the same documents.
func HeadDigest(docs map[string]string) string {
	h := sha256.New()
	for _, name := range sortedKeys(docs) {
		h.Write([]byte(name + "\x00" + docs[name] + "\n"))
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}
