/**
 * Lanes: work that always takes precedence over other work, with its claims on record
 * (docs/lane.md).
 */
package dapplestair.lane;
