/** Implementation of the control plane; everything runs on the control thread unless stated. */
package org.coriandercrank.control.internal;
