// Package agent is the process in the slot of an upstream box.
//
// It fetches the weights that the configuration places on its box and passes
// them on, is the only one to give orders to the box's engine, and is the last
// gate in front of it: requests reach the engine through a dispatch.Gate alone.
package agent
