/**
 * Spreads the connections of workers over all controllers. Only the leader decides; the others
 * accept reports and deliver commands on its behalf, as a network path would (docs/sharing.md).
 */
package dapplestair.relay;
