/** Client of the state service: rate-limited requests, transactions, and a replica of its keys. */
package dapplestair.state;
