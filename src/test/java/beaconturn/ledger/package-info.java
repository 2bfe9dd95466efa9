/** Tests. */
package beaconturn.ledger;
