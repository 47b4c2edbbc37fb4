/** Membership, lease, takeover and dissemination of control objects of one daemon. */
package org.coriandercrank.control;
