// Package standin implements small stand-ins for the external systems of poststand.
//
// Platform is the platform's configuration service and fleet list, Origin the origin
// of weights, Engine a model engine and Plain a plain service. They are used by tests,
// the demo and measurements, and can simulate the faults of the real systems. A Ledger
// counts how often each request was started, so that the load tool can find requests
// that ran twice. Answers are a fixed function of the request, see Token.
package standin
