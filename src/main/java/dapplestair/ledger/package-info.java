/** Which attempts exist and where; the one gate that every launch passes. */
package dapplestair.ledger;
