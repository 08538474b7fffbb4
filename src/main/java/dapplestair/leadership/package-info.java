/** Leader election: terms won in the state service, kept by a hold, and workers' fencing tokens. */
package dapplestair.leadership;
