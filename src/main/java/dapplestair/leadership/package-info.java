/** Who leads: terms won in the state service, kept by a hold, and the token workers are shown. */
package dapplestair.leadership;
