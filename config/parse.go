package config

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/strict"
)

// MaxDocument is the largest document, in bytes, that the platform stores.
const MaxDocument = 1 << 20

// Parse merges and validates the documents of a revision. It is pure. The error has code
// fault.BadConfig and wraps every problem as a strict.Problems.
func Parse(docs map[string][]byte) (*Config, error) {
	p := &parser{cfg: &Config{}, definedIn: map[string]*strict.Document{}}
	for _, name := range sortedKeys(docs) {
		p.merge(name, docs[name])
	}
	p.cfg.setDefaults()
	p.validate()
	if len(p.problems) > 0 {
		p.problems.Sort()
		return nil, fault.Wrap(fault.BadConfig, p.problems, "")
	}
	return p.cfg, nil
}

type parser struct {
	cfg       *Config
	definedIn map[string]*strict.Document // The document that defines each path.
	problems  strict.Problems
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (p *parser) merge(name string, data []byte) {
	if len(data) > MaxDocument {
		p.problems = append(p.problems, strict.Problem{File: name, Line: 1, Text: "document over 1 MB"})
		return
	}
	var part Config
	doc := strict.Decode(name, data, &part)
	for path := range doc.Lines {
		p.recordPath(doc, path)
	}
	p.problems = append(p.problems, doc.Problems...)
	doc.Problems = nil
	into, from := reflect.ValueOf(p.cfg).Elem(), reflect.ValueOf(part)
	for i := range into.NumField() {
		mergeSection(into.Field(i), from.Field(i))
	}
}

// recordPath records that doc defines path, and reports a problem if another document
// already defines the same entry. Sections that are maps may be spread over documents.
func (p *parser) recordPath(doc *strict.Document, path string) {
	first, defined := p.definedIn[path]
	if !defined {
		p.definedIn[path] = doc
		return
	}
	section, _, nested := strings.Cut(path, ".")
	indivisible := section == "limits" || section == "weights"
	entry := nested && strings.Count(path, ".") == 1
	if (indivisible && !nested) || (!indivisible && entry) {
		p.problems = append(p.problems, strict.Problem{
			File: doc.File, Line: doc.Lines[path], Path: path,
			Text: fmt.Sprintf("already defined at %s:%d", first.File, first.Lines[path]),
		})
	}
}

func mergeSection(into, from reflect.Value) {
	if from.Kind() != reflect.Map {
		if !from.IsZero() {
			into.Set(from)
		}
		return
	}
	if into.IsNil() {
		into.Set(reflect.MakeMap(into.Type()))
	}
	for it := from.MapRange(); it.Next(); {
		into.SetMapIndex(it.Key(), it.Value())
	}
}

// report records a problem at path in the document that defines path, or else its closest
// parent that is defined.
func (p *parser) report(path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for prefix := path; prefix != ""; {
		if doc, ok := p.definedIn[prefix]; ok {
			doc.Report(path, text)
			p.problems = append(p.problems, doc.Problems...)
			doc.Problems = nil
			return
		}
		i := strings.LastIndexByte(prefix, '.')
		if i < 0 {
			break
		}
		prefix = prefix[:i]
	}
	p.problems = append(p.problems, strict.Problem{File: "(whole)", Line: 0, Path: path, Text: text})
}

func (p *parser) validate() {
	if len(p.cfg.Halls) == 0 {
		p.report("halls", "at least one hall is required")
	}
	for _, name := range sortedKeys(p.cfg.Models) {
		p.checkModel("models."+name, p.cfg.Models[name])
	}
	for _, name := range sortedKeys(p.cfg.Services) {
		p.checkService("services."+name, p.cfg.Services[name])
	}
	for _, name := range sortedKeys(p.cfg.Organisations) {
		o := p.cfg.Organisations[name]
		p.checkAtLeast("organisations."+name+".weight", o.Weight, 1)
		p.checkAtLeast("organisations."+name+".in_flight", o.InFlight, 0)
		if o.Rate < 0 {
			p.report("organisations."+name+".rate", "must not be negative")
		}
	}
	p.checkLimits()
	p.checkWeights()
}

func (p *parser) checkAtLeast(path string, v, least int) {
	if v < least {
		p.report(path, "must be at least %d, not %d", least, v)
	}
}

func (p *parser) checkModel(path string, m Model) {
	if len(m.Versions) == 0 {
		p.report(path, "no versions")
	}
	for _, v := range sortedKeys(m.Versions) {
		p.checkDigest(path+".versions."+v, m.Versions[v])
	}
	for _, a := range sortedKeys(m.Adapters) {
		p.checkDigest(path+".adapters."+a, m.Adapters[a])
	}
}

func (p *parser) checkDigest(path string, a Artifact) {
	h, ok := strings.CutPrefix(a.Manifest, "sha256:")
	if b, err := hex.DecodeString(h); !ok || err != nil || len(b) != 32 {
		p.report(path+".manifest", "want sha256: and 64 hexadecimal digits")
	}
}

func (p *parser) checkService(path string, s Service) {
	if s.Boxes == "" {
		p.report(path, "boxes: no class of boxes set")
	}
	if len(s.Replicas) == 0 {
		p.report(path, "replicas: no hall set")
	}
	for _, hall := range sortedKeys(s.Replicas) {
		if _, ok := p.cfg.Halls[hall]; !ok {
			p.report(path+".replicas."+hall, "no such hall")
		}
		p.checkAtLeast(path+".replicas."+hall, s.Replicas[hall], 0)
	}
	p.checkAtLeast(path+".ready_before_traffic", s.ReadyBeforeTraffic, 1)
	p.checkAtLeast(path+".reload_at_most", s.ReloadAtMost, 1)
	switch s.Kind {
	case KindModel:
		p.checkModelService(path, s)
	case KindPlain:
		if s.Model != "" || s.Version != "" || len(s.Adapters) > 0 {
			p.report(path, "a plain service has no model, version or adapters")
		}
	default:
		p.report(path+".kind", "want model or plain, not %q", s.Kind)
	}
}

func (p *parser) checkModelService(path string, s Service) {
	m, ok := p.cfg.Models[s.Model]
	if !ok {
		p.report(path+".model", "no model %q", s.Model)
		return
	}
	if _, ok := m.Versions[s.Version]; !ok {
		p.report(path+".version", "model %s has no version %q", s.Model, s.Version)
	}
	for i, a := range s.Adapters {
		if _, ok := m.Adapters[a]; !ok {
			p.report(fmt.Sprintf("%s.adapters.%d", path, i), "model %s has no adapter %q", s.Model, a)
		}
	}
}

func (p *parser) checkLimits() {
	l := p.cfg.Limits
	p.checkAtLeast("limits.queue", l.Queue, 1)
	p.checkAtLeast("limits.retry_percent", l.RetryPercent, 0)
	if l.RetryPercent > 100 {
		p.report("limits.retry_percent", "must be at most 100")
	}
	if l.Deadline > l.MaxDeadline {
		p.report("limits.deadline", "must not exceed max_deadline")
	}
	if l.KeyWindow <= l.MaxDeadline {
		p.report("limits.key_window", "must be over max_deadline, or a key could be forgotten while its request runs")
	}
}

func (p *parser) checkWeights() {
	w := p.cfg.Weights
	if w.Policy != PolicyTime && w.Policy != PolicyOriginBytes {
		p.report("weights.policy", "want %s or %s, not %q", PolicyTime, PolicyOriginBytes, w.Policy)
	}
	p.checkAtLeast("weights.upload_slots", w.UploadSlots, 1)
	if w.LinkPercent < 1 || w.LinkPercent > 100 {
		p.report("weights.link_percent", "must be 1 to 100")
	}
	if w.OriginCopies <= 0 {
		p.report("weights.origin_copies", "must be over 0")
	}
}
