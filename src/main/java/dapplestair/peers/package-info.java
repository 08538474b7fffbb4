/** Messages between controllers: liveness, leadership, and the state that placement needs. */
package dapplestair.peers;
