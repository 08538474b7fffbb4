/** Which attempts exist and where; the one door that every launch passes. */
package dapplestair.ledger;
