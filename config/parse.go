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

// MaxDocument is the largest document, in bytes, that the platform holds.
const MaxDocument = 1 << 20

// Parse merges and validates the documents of a whole. It is pure. The error
// has type fault.BadConfig and holds every fault as a strict.Problems.
func Parse(docs map[string][]byte) (*Config, error) {
	p := &parser{cfg: &Config{}, where: map[string]*strict.Document{}}
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
	cfg      *Config
	where    map[string]*strict.Document // The document in which a path stands.
	problems strict.Problems
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
		p.claim(doc, path)
	}
	p.problems = append(p.problems, doc.Problems...)
	doc.Problems = nil
	into, from := reflect.ValueOf(p.cfg).Elem(), reflect.ValueOf(part)
	for i := range into.NumField() {
		mergeSection(into.Field(i), from.Field(i))
	}
}

// claim records that path stands in doc, and refuses an entry that another
// document already has. Sections of maps may be spread over documents.
func (p *parser) claim(doc *strict.Document, path string) {
	first, taken := p.where[path]
	if !taken {
		p.where[path] = doc
		return
	}
	section, _, nested := strings.Cut(path, ".")
	whole := section == "limits" || section == "weights"
	entry := nested && strings.Count(path, ".") == 1
	if (whole && !nested) || (!whole && entry) {
		p.problems = append(p.problems, strict.Problem{
			File: doc.File, Line: doc.Lines[path], Path: path,
			Text: fmt.Sprintf("also stands at %s:%d", first.File, first.Lines[path]),
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

func (p *parser) fault(path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for at := path; at != ""; {
		if doc, ok := p.where[at]; ok {
			doc.Report(path, text)
			p.problems = append(p.problems, doc.Problems...)
			doc.Problems = nil
			return
		}
		i := strings.LastIndexByte(at, '.')
		if i < 0 {
			break
		}
		at = at[:i]
	}
	p.problems = append(p.problems, strict.Problem{File: "(whole)", Line: 0, Path: path, Text: text})
}

func (p *parser) validate() {
	if len(p.cfg.Halls) == 0 {
		p.fault("halls", "at least one hall is needed")
	}
	for _, name := range sortedKeys(p.cfg.Models) {
		p.model("models."+name, p.cfg.Models[name])
	}
	for _, name := range sortedKeys(p.cfg.Services) {
		p.service("services."+name, p.cfg.Services[name])
	}
	for _, name := range sortedKeys(p.cfg.Organisations) {
		o := p.cfg.Organisations[name]
		p.atLeast("organisations."+name+".weight", o.Weight, 1)
		p.atLeast("organisations."+name+".in_flight", o.InFlight, 0)
		if o.Rate < 0 {
			p.fault("organisations."+name+".rate", "must not be negative")
		}
	}
	p.limits()
	p.weights()
}

func (p *parser) atLeast(path string, v, least int) {
	if v < least {
		p.fault(path, "must be at least %d, not %d", least, v)
	}
}

func (p *parser) model(path string, m Model) {
	if len(m.Versions) == 0 {
		p.fault(path, "no versions")
	}
	for _, v := range sortedKeys(m.Versions) {
		p.digest(path+".versions."+v, m.Versions[v])
	}
	for _, a := range sortedKeys(m.Adapters) {
		p.digest(path+".adapters."+a, m.Adapters[a])
	}
}

func (p *parser) digest(path string, a Artifact) {
	h, ok := strings.CutPrefix(a.Manifest, "sha256:")
	if b, err := hex.DecodeString(h); !ok || err != nil || len(b) != 32 {
		p.fault(path+".manifest", "want sha256: and 64 hexadecimal digits")
	}
}

func (p *parser) service(path string, s Service) {
	if s.Boxes == "" {
		p.fault(path, "boxes: names no class of boxes")
	}
	if len(s.Replicas) == 0 {
		p.fault(path, "replicas: names no hall")
	}
	for _, hall := range sortedKeys(s.Replicas) {
		if _, ok := p.cfg.Halls[hall]; !ok {
			p.fault(path+".replicas."+hall, "no such hall")
		}
		p.atLeast(path+".replicas."+hall, s.Replicas[hall], 0)
	}
	p.atLeast(path+".ready_before_traffic", s.ReadyBeforeTraffic, 1)
	p.atLeast(path+".reload_at_most", s.ReloadAtMost, 1)
	switch s.Kind {
	case KindModel:
		p.modelService(path, s)
	case KindPlain:
		if s.Model != "" || s.Version != "" || len(s.Adapters) > 0 {
			p.fault(path, "a plain service has no model, version or adapters")
		}
	default:
		p.fault(path+".kind", "want model or plain, not %q", s.Kind)
	}
}

func (p *parser) modelService(path string, s Service) {
	m, ok := p.cfg.Models[s.Model]
	if !ok {
		p.fault(path+".model", "no model %q", s.Model)
		return
	}
	if _, ok := m.Versions[s.Version]; !ok {
		p.fault(path+".version", "model %s has no version %q", s.Model, s.Version)
	}
	for i, a := range s.Adapters {
		if _, ok := m.Adapters[a]; !ok {
			p.fault(fmt.Sprintf("%s.adapters.%d", path, i), "model %s has no adapter %q", s.Model, a)
		}
	}
}

func (p *parser) limits() {
	l := p.cfg.Limits
	p.atLeast("limits.queue", l.Queue, 1)
	p.atLeast("limits.retry_percent", l.RetryPercent, 0)
	if l.RetryPercent > 100 {
		p.fault("limits.retry_percent", "must be at most 100")
	}
	if l.Deadline > l.MaxDeadline {
		p.fault("limits.deadline", "is over max_deadline")
	}
	if l.KeyWindow <= l.MaxDeadline {
		p.fault("limits.key_window", "must be over max_deadline, or a key could be forgotten while its request runs")
	}
}

func (p *parser) weights() {
	w := p.cfg.Weights
	if w.Policy != PolicyTime && w.Policy != PolicyOriginBytes {
		p.fault("weights.policy", "want %s or %s, not %q", PolicyTime, PolicyOriginBytes, w.Policy)
	}
	p.atLeast("weights.upload_slots", w.UploadSlots, 1)
	if w.LinkPercent < 1 || w.LinkPercent > 100 {
		p.fault("weights.link_percent", "must be 1 to 100")
	}
	if w.OriginCopies <= 0 {
		p.fault("weights.origin_copies", "must be over 0")
	}
}
