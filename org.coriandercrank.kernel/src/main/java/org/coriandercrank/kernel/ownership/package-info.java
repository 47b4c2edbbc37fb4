/** Interfaces between control plane, owner gate and ingress. */
package org.coriandercrank.kernel.ownership;
