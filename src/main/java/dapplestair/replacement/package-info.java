/** Workers replaced in steps, new ones first: recorded orders, carried on by whoever leads. */
package dapplestair.replacement;
