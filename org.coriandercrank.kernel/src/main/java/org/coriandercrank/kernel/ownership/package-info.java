/** Interfaces between control, gate and ingress. */
package org.coriandercrank.kernel.ownership;
