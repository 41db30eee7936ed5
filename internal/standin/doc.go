// Package standin holds small stand-ins for what lies outside poststand: the
// platform's configuration service and fleet list, the origin of weights, a
// model engine and a plain service. They serve tests, the demo and
// measurements, and have switches for the faults that the real ones show.
package standin
