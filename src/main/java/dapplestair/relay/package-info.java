/**
 * Connections of workers spread over all controllers. The leader alone decides; the others accept
 * reports and deliver commands on its behalf, as a network path would (docs/sharing.md).
 */
package dapplestair.relay;
